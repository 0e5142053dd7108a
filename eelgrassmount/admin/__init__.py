"""The admin interface: HTTP listener, routes and handlers for operators."""

"""Small helpers without a home of their own."""

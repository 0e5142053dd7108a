"""The path of a request through a node that runs on the VM of a backend server."""

"""HTTP/1.1 server for ASGI applications, with bounds on what each client may take."""

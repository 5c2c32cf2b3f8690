"""The operators' console: a small HTTP/1.1 server with one call per connection.

`calls` parses requests, `state` contains the decisions, `service` executes calls, `listener` has the sockets.
"""

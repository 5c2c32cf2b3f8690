"""Where operators call: a small HTTP/1.1 console, one call per connection.

`calls` reads a request, `state` decides, `service` carries out, `listener` holds the sockets."""

"""HTTP/1.1 over gevent sockets, parsed and framed by h11.

gevent's WSGI server and geventhttpclient do not show when a caller leaves,
cannot break an answer off, and wait for a whole block of a stream; where those
matter this package stands in for them.
"""

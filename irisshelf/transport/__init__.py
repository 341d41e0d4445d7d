"""HTTP/1.1 over gevent sockets, parsed and framed by h11.

Used in place of gevent's WSGI server and geventhttpclient where a caller's
disconnect must be detected, a response must be aborted, or parts of a stream
must be delivered as they arrive. Those libraries support none of these; they
wait for a full block of a stream.
"""

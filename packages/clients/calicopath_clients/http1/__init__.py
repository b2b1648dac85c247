"""Provide an HTTP/1.1 client that sends exactly the given bytes and reports every failure.

Client libraries may retry requests on their own, reuse connections that hold surplus bytes, or
rewrite headers. This client uses a library only for parsing (httptools).
"""

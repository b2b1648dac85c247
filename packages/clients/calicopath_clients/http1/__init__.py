"""Make HTTP/1.1 calls whose bytes, connections and failures are all in view.

A library's client repeats requests by itself, reuses connections that hold surplus bytes, or
rewrites headers; here the parser is a library's (httptools) and what is decided is ours.
"""

"""Wire formats: HTTP/1.1, CBOR messages and the frames between controllers. Clients may import them too."""

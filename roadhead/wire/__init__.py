"""Wire formats: HTTP, CBOR messages and the frames between controllers. Clients may use these too."""

#!/bin/sh
# The stand-ins are Python files that need nothing beyond the service's own build: nothing is built here.
exit 0

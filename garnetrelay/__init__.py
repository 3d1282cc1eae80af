"""A relay that delivers messages from clients to endpoints of their destinations by HTTP calls.

This package contains the network, storage and process code. The package ``starlingwick`` decides what is sent
where and when.
"""

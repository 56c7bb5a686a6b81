"""The envelope of messages between hosts."""

import typing

from testtools import assertions
from testtools import matchers

from chervilshore import batchmessages
from chervilshore import catalogmessages
from chervilshore import grantmessages
from chervilshore import messages
from chervilshore import wire

MODULES = (messages, catalogmessages, grantmessages, batchmessages)


def test_every_message_can_be_sent():
    """A kind that is missing here is dropped by every peer that gets it."""
    found = {
        one
        for module in MODULES
        for one in vars(module).values()
        if isinstance(one, type)
        and issubclass(one, messages.Message)
        and one is not messages.Message
    }
    assertions.assert_that(
        found, matchers.Equals(set(typing.get_args(wire.Body)))
    )

"""Query for the prompt parts in an engine's KV cache, and its answer."""

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError
from siskinpass.platform.fields import read_field, read_json_table
from siskinpass.request.inbound import PromptPart

KEPT_PARTS_REQUEST = b'GET /-/kv-list HTTP/1.1\r\nHost: engine\r\n\r\n'
# Columns of a row: an empty string, the id of the part, the number of its
# tokens that are cached, the model.
PART_ID = 1
PART_TOKENS = 2


def decode_kept_parts(body: bytes) -> tuple[PromptPart, ...]:
    """Return the prompt parts that an engine has in its KV cache.

    :param body: JSON body of the engine's answer.
    :raises FormatError: if the body is not in the expected format.
    """
    try:
        rows = read_field(read_json_table(body, 'kept parts'), 'held', list)
        return tuple(
            PromptPart(str(row[PART_ID]), int(row[PART_TOKENS])) for row in rows
        )
    except (ValueError, TypeError, LookupError) as error:
        raise FormatError(Code.document_wrong, f'held: {error}') from error

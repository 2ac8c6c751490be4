"""Test the table of result codes."""

import re
from pathlib import Path

import pytest

from siskinpass import MEANINGS, Code
from siskinpass.request.answer import error_answer

PAGE = Path(__file__).parent.parent / 'docs' / 'CODES.md'


class TestCodes:
    """Test the table, its page in the docs and its use in responses."""

    def test_every_code_has_a_meaning(self):
        """Every code has a status and a text for responses."""
        assert set(MEANINGS) == set(Code)

    def test_docs_page_matches_the_table(self):
        """The page for operators lists exactly the codes and meanings."""
        rows = re.findall(
            r'^\| (\d{4}) \| (\w+) \| (\d+|-) \| (\w+) \| (.+) \|$',
            PAGE.read_text(),
            re.MULTILINE,
        )
        documented = {int(row[0]): row[1:] for row in rows}
        assert documented == {
            int(code): (
                code.name,
                str(MEANINGS[code].status or '-'),
                MEANINGS[code].ran.value,
                MEANINGS[code].text,
            )
            for code in Code
        }

    @pytest.mark.parametrize(
        ('code', 'retry_ms', 'wanted'),
        [
            (Code.queue_full, 1500, b'Retry-After: 2\r\n'),
            (Code.queue_full, 1500, b'Retry-After-Ms: 1500\r\n'),
            (Code.wait_too_long, 0, b'X-Siskinpass-Ran: no\r\n'),
            (Code.outcome_unknown, 0, b'X-Siskinpass-Ran: unknown\r\n'),
        ],
    )
    def test_response_states_code_and_retry(self, code, retry_ms, wanted):
        """The headers state the code, whether it ran and when to retry."""
        wire = error_answer(code, retry_after_ms=retry_ms)
        assert wanted in wire
        assert b'X-Siskinpass-Code: %d\r\n' % code in wire

"""Test parsing and serializing settings trees."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.version.document import TreeFaultsError, dump_tree, parse_tree

EXAMPLES = sorted((Path(__file__).parent.parent / 'examples').glob('*.yaml'))
GOOD = """\
deployment: x
settings: {tier: 3}
pools:
  lm: {models: [m1]}
workspaces:
  a:
    settings: {objective: 0.9}
    classes:
      counter: {tier: 0}
      draft: {}
"""


class TestParseTree:
    """Test inheritance of settings and the reporting of faults."""

    def test_class_inherits(self):
        """A class inherits the settings of its workspace and the root."""
        tree = parse_tree(GOOD)
        counter = tree.class_settings('a', 'counter')
        draft = tree.class_settings('a', 'draft')
        assert (counter.tier, counter.objective) == (0, 0.9)
        assert (draft.tier, draft.objective) == (3, 0.9)
        assert tree.class_settings('a', 'none') is None
        assert tree.class_settings('none', 'draft') is None

    @pytest.mark.parametrize(
        ('old', 'new', 'wanted'),
        [
            ('tier: 3', 'tier: 99', 'settings/tier, line 2'),
            ('tier: 3', 'tier: high', 'settings/tier, line 2'),
            ('tier: 3', 'tier: true', 'settings/tier, line 2'),
            ('tier: 3', 'tear: 3', 'settings/tear, line 2'),
            ('tier: 0', 'tier: -1', 'workspaces/a/classes/counter/tier'),
            ('draft: {}', 'draft: [1]', 'workspaces/a/classes/draft, line 10'),
            ('draft: {}', 'counter: {}', 'counter, line 10: is given twice'),
            ('draft: {}', '"a/b": {}', 'is not a usable name'),
            ('draft: {}', 'draft: {pool: no}', 'draft/pool'),
            ('models: [m1]', 'kind: fax', 'pools/lm/kind, line 4'),
            ('deployment: x', 'other: x', 'deployment, line 1: is missing'),
            ('deployment: x', 'deployment: [', 'line'),
        ],
    )
    def test_fault_states_its_place(self, old, new, wanted):
        """Each fault states path, line and reason."""
        with pytest.raises(TreeFaultsError) as caught:
            parse_tree(GOOD.replace(old, new))
        assert wanted in str(caught.value)

    def test_all_faults_are_reported_at_once(self):
        """One error lists every fault."""
        text = GOOD.replace('tier: 3', 'tier: 99, share: 2')
        with pytest.raises(TreeFaultsError) as caught:
            parse_tree(text)
        assert len(caught.value.faults) == 2

    @given(st.text(max_size=60))
    def test_any_text_is_parsed_or_rejected(self, text):
        """Any text is parsed or raises ``TreeFaultsError``, nothing else."""
        try:
            parse_tree(text)
        except TreeFaultsError as error:
            assert error.faults

    @pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: path.stem)
    def test_examples_read_back(self, path):
        """The examples are valid and equal after a round trip."""
        tree = parse_tree(path.read_text())
        assert len(tree.workspaces) == 10
        assert parse_tree(dump_tree(tree)) == tree

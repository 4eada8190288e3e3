"""Every promise of the brief, with the failures that threaten it."""

import pytest_bdd

pytest_bdd.scenarios('features')

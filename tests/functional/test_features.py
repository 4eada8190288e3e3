"""Runs the scenarios in the feature files.

They check each guarantee of the system under failures that could break it.
"""

import pytest_bdd

pytest_bdd.scenarios('features')

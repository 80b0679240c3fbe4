"""The example configurations are valid."""

import pathlib
import runpy
import unittest

from foxspring_config import parse_configuration, print_configuration

_EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


class ExamplesTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        for name, workers in (("cooperative", 34), ("agency", 24)):
            with self.subTest(name):
                module = runpy.run_path(str(_EXAMPLES / f"{name}.py"))
                configuration = module[name]()
                text = print_configuration(configuration)
                self.assertEqual(parse_configuration(text), configuration)
                self.assertEqual(configuration.services[0].replicas, workers)

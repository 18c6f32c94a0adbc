"""The contract of every instance list."""

from __future__ import annotations

import abc
from typing import Any

import pytest
from ebonyhatch.ports import instance_directory, instances
from ebonyhatch.testing.contracts import rigs


class InstancesRig(abc.ABC):
    """An instance list under test, with its directory and its faults."""

    rig: rigs.Rig
    port: instances.Instances
    directory: instance_directory.InstanceDirectory

    @abc.abstractmethod
    def set_faults(self, **switches: Any) -> None:
        """Turns these faults on and all others off."""

    def list(self) -> Any:
        """Reads the list and returns the result."""
        return self.rig.run(self.port.list)


def instance(instance_id: str) -> instances.Instance:
    """Builds a live worker."""
    return instances.Instance(
        instance_id=instance_id,
        role=instances.Role.WORKER,
        state=instances.InstanceState.LIVE,
        host="127.0.0.1",
        port=4000,
        region="central",
        failure_domain="d1",
        rack="r1",
    )


class InstancesContract:
    """Subclasses provide the fixture `under_test`, an `InstancesRig`."""

    def test_live_leaving_and_removed(self, under_test: InstancesRig) -> None:
        """An instance is listed as live, then as leaving, then not at all."""
        assert under_test.list().unwrap().instances == ()
        under_test.directory.put(instance("w1"))
        under_test.directory.put(instance("w2"))
        assert under_test.list().unwrap().instances == (instance("w1"), instance("w2"))
        under_test.directory.leave(instance_id="w1")
        states = [row.state.value for row in under_test.list().unwrap().instances]
        assert states == ["leaving", "live"]
        under_test.directory.remove(instance_id="w1")
        assert under_test.list().unwrap().instances == (instance("w2"),)

    def test_stale_list_reports_its_age(self, under_test: InstancesRig) -> None:
        """A stale list shows the instances of an earlier time and reports its age."""
        under_test.directory.put(instance("w1"))
        under_test.rig.pause(1.0)
        under_test.directory.remove(instance_id="w1")
        under_test.set_faults(stale_s=0.9)
        listed = under_test.list().unwrap()
        assert listed.instances == (instance("w1"),)
        assert listed.age_s == 0.9

    @pytest.mark.parametrize("fault", ["down", "silent", "lose_answers", "cut_answers"])
    def test_no_list_is_a_typed_error(self, under_test: InstancesRig, fault: str) -> None:
        """Every fault gives a typed error, and the list is readable again afterwards."""
        under_test.set_faults(**{fault: True})
        assert isinstance(under_test.list().failure(), instances.InstancesError)
        under_test.set_faults()
        assert under_test.list().unwrap().instances == ()

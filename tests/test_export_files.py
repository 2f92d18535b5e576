"""Tests of export files: published atomically and only once, with the same content in both formats."""

from __future__ import annotations

import csv

import pytest
from pyarrow import parquet

from canvasplank.worker import export_files
from canvasplank.worker.usage_ledger import UsageSum


class TestExportFiles:
    """Publication and content of export files."""

    SUMS = (UsageSum(0, "acme", "low", "served", 0, 11), UsageSum(0, "", "low", "failed", 1, 2))

    def publish(self, folder, content, pause_point=lambda point: None):
        return export_files.publish(folder, "usage-0.csv", content, pause_point)

    def test_both_formats_have_the_same_content(self, tmp_path):
        (tmp_path / "u.parquet").write_bytes(export_files.to_parquet(self.SUMS, 3_600_000))
        table = parquet.read_table(tmp_path / "u.parquet").to_pylist()
        lines = list(csv.DictReader(export_files.to_csv(self.SUMS, 3_600_000).decode().splitlines()))
        assert [str(row["calls"]) for row in table] == [line["calls"] for line in lines] == ["11", "2"]
        assert lines[0]["period_start"] == "1970-01-01T00:00:00+00:00" == table[0]["period_start"].isoformat()

    def test_an_existing_file_is_never_replaced(self, tmp_path):
        assert self.publish(tmp_path, b"one") and not self.publish(tmp_path, b"one")
        with pytest.raises(export_files.ExportConflictError):
            self.publish(tmp_path, b"other")
        assert [path.name for path in tmp_path.iterdir()] == ["usage-0.csv"]

    def test_a_killed_writer_publishes_no_file_and_its_partial_file_is_removed(self, tmp_path):
        def interrupt(_):
            raise KeyboardInterrupt

        with pytest.raises(KeyboardInterrupt):
            self.publish(tmp_path, b"one", interrupt)
        (tmp_path / ".usage-0.csv.99").write_bytes(b"on")
        export_files.remove_partial_files(tmp_path)
        assert not list(tmp_path.iterdir())

    def test_a_folder_with_other_files_is_never_written_to(self, tmp_path):
        (tmp_path / "unrelated").touch()
        with pytest.raises(
            export_files.ExportFolderError, match="not an export folder and contains other files"
        ):
            export_files.claim_folder(tmp_path)
        with pytest.raises(export_files.ExportFolderError, match="No such file"):
            export_files.claim_folder(tmp_path / "nowhere")

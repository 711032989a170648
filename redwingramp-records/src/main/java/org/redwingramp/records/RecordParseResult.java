package org.redwingramp.records;

import java.util.List;
import java.util.Optional;

import org.redwingramp.core.model.OperatorRecord;

/**
 * The result of parsing a record. Immutable and thread safe. The record is present
 * exactly if there is no finding.
 *
 * @param record the record
 * @param findings all mistakes, ordered by place
 */
public record RecordParseResult(Optional<OperatorRecord> record, List<Finding> findings) {

	public RecordParseResult {
		findings = List.copyOf(findings);
		if (record.isPresent() != findings.isEmpty()) {
			throw new IllegalArgumentException("A parse result has either record or findings, but this one has "
					+ findings.size() + " findings and " + (record.isPresent() ? "a value" : "no value"));
		}
	}

}

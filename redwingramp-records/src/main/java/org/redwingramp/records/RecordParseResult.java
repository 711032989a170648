package org.redwingramp.records;

import java.util.List;
import java.util.Optional;

import org.redwingramp.core.model.OperatorRecord;

/**
 * The result of parsing a record. Immutable and thread safe. The record is present if and
 * only if there are no findings.
 *
 * @param record the parsed record, or empty if there are findings
 * @param findings all validation errors, ordered by line and column
 */
public record RecordParseResult(Optional<OperatorRecord> record, List<Finding> findings) {

	public RecordParseResult {
		findings = List.copyOf(findings);
		if (record.isPresent() != findings.isEmpty()) {
			throw new IllegalArgumentException("A parse result must contain either a record or findings (was: "
					+ findings.size() + " findings and " + (record.isPresent() ? "a value)" : "no value)"));
		}
	}

}

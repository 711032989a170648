package org.redwingramp.core.control.internal;

import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.core.model.RecordKind;

/**
 * Identifies an operator record. Immutable and thread safe.
 *
 * @param kind the kind of record
 * @param name the name, unique within the kind
 */
record RecordKey(RecordKind kind, String name) implements Comparable<RecordKey> {

	static RecordKey of(OperatorRecord record) {
		return new RecordKey(record.kind(), record.name());
	}

	@Override
	public int compareTo(RecordKey other) {
		int order = this.kind.compareTo(other.kind);
		return (order != 0) ? order : this.name.compareTo(other.name);
	}

	@Override
	public String toString() {
		return this.kind.label() + "/" + this.name;
	}

}

package org.redwingramp.core.control;

import org.redwingramp.core.model.OperatorRecord;

/**
 * A configuration record in force. Immutable and thread safe.
 *
 * @param record the record
 * @param revision the configuration revision under which the record was accepted
 * @param viewVersion the view version of the last change to this record
 */
public record RecordState(OperatorRecord record, long revision, long viewVersion) {
}

package org.redwingramp.core.control;

import org.redwingramp.core.model.OperatorRecord;

/**
 * A record in force. Immutable and thread safe.
 *
 * @param record the record
 * @param revision the configuration revision that accepted it
 * @param viewVersion the view version of its last change
 */
public record RecordState(OperatorRecord record, long revision, long viewVersion) {
}

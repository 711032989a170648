package org.redwingramp.core.control;

import org.redwingramp.core.model.TargetSpec;

/**
 * A target with its gate. Immutable and thread safe.
 *
 * @param spec the target
 * @param phase the phase of its life
 * @param gate the name of the entry instance that is its gate, empty for none
 * @param gateEpoch the number of gate assignments so far, over all runs of the target
 * @param viewVersion the view version of its last change
 */
public record TargetState(TargetSpec spec, TargetPhase phase, String gate, long gateEpoch, long viewVersion) {
}

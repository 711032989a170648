package org.redwingramp.core.control;

import org.redwingramp.core.model.TargetSpec;

/**
 * A registered target and its gate. Immutable and thread safe.
 *
 * @param spec the target
 * @param phase the lifecycle phase of the target's incarnation
 * @param gate the name of the entry instance that is the target's gate, empty for none
 * @param gateEpoch the gate epoch, which counts the gate assignments over all
 * incarnations of the target
 * @param viewVersion the view version of the last change to this state
 */
public record TargetState(TargetSpec spec, TargetPhase phase, String gate, long gateEpoch, long viewVersion) {
}

package org.redwingramp.core.routing;

import org.redwingramp.core.routing.internal.SlotGate;

/**
 * Creates {@link TargetGate target gates}. Stateless and thread safe.
 */
public final class TargetGates {

	private TargetGates() {
	}

	/**
	 * Creates a closed gate for a target whose normal service time is unknown.
	 * @param settings the gate's settings
	 * @param now the monotonic time in nanoseconds
	 * @return the gate, at the start of the ramp unless the settings disable the ramp
	 */
	public static TargetGate create(GateSettings settings, long now) {
		return create(settings, 0, now);
	}

	/**
	 * Creates a closed gate for a target whose normal service time is known from other
	 * targets of the service or from a previous gate of the target. The ramp can then
	 * recognize a cold target by its first responses.
	 * @param settings the gate's settings
	 * @param normalNanos the normal service time in nanoseconds, 0 if unknown
	 * @param now the monotonic time in nanoseconds
	 * @return the gate, at the start of the ramp unless the settings disable the ramp
	 */
	public static TargetGate create(GateSettings settings, long normalNanos, long now) {
		return new SlotGate(settings, normalNanos);
	}

}

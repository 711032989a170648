package org.redwingramp.core.routing;

import org.redwingramp.core.routing.internal.SlotGate;

/**
 * Creates gates. Stateless and thread safe.
 */
public final class TargetGates {

	private TargetGates() {
	}

	/**
	 * Creates a closed gate for a target whose normal service time is not known.
	 * @param settings the gate's settings
	 * @param now the monotonic time in nanoseconds
	 * @return the gate, at the start of the ramp unless the settings switch it off
	 */
	public static TargetGate create(GateSettings settings, long now) {
		return create(settings, 0, now);
	}

	/**
	 * Creates a closed gate for a target whose normal service time is known, from other
	 * targets of the service or from a former gate. The ramp then recognizes a cold
	 * target from its first answers.
	 * @param settings the gate's settings
	 * @param normalNanos the normal service time in nanoseconds, 0 if unknown
	 * @param now the monotonic time in nanoseconds
	 * @return the gate, at the start of the ramp unless the settings switch it off
	 */
	public static TargetGate create(GateSettings settings, long normalNanos, long now) {
		return new SlotGate(settings, normalNanos);
	}

}

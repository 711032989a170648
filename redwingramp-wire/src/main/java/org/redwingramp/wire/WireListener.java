package org.redwingramp.wire;

/**
 * Receives events of connections. Implementations must be thread safe and must not block.
 * They must limit the rate at which they log, since unauthenticated clients can cause
 * events at any rate.
 */
@FunctionalInterface
public interface WireListener {

	/** Ignores all events. */
	WireListener NONE = (event) -> {
	};

	/**
	 * Handles an event.
	 * @param event the event
	 */
	void onEvent(WireEvent event);

}

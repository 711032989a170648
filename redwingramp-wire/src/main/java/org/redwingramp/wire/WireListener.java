package org.redwingramp.wire;

/**
 * Is told of events on connections. Implementations must be thread safe and must not
 * block. They have to bound what they log: strangers can cause events at any rate.
 */
@FunctionalInterface
public interface WireListener {

	/** Ignores all events. */
	WireListener NONE = (event) -> {
	};

	/**
	 * Takes an event.
	 * @param event the event
	 */
	void happened(WireEvent event);

}

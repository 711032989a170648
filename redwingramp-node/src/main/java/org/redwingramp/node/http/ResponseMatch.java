package org.redwingramp.node.http;

/**
 * Whether a response on a connection belongs to the call that is in flight there. Targets
 * may send a response twice, the second time where the response to a later call is due.
 */
public enum ResponseMatch {

	/** The response bears the identifier of the call. */
	OWN,

	/** The response bears another identifier. */
	OTHER,

	/**
	 * The response bears no identifier. It belongs to the call only if no other call was
	 * sent on its connection before.
	 */
	UNIDENTIFIED

}

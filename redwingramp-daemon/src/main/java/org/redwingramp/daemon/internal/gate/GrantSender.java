package org.redwingramp.daemon.internal.gate;

import java.util.concurrent.CompletableFuture;

import org.redwingramp.core.control.Grant;
import org.redwingramp.core.control.GrantReply;

/**
 * Sends grants to targets. Implementations are thread safe and non-blocking.
 */
interface GrantSender {

	/**
	 * Sends a grant.
	 * @param address the target's address as {@code ip:port}
	 * @param grant the grant
	 * @return completed with the target's reply, or exceptionally if none arrives within
	 * the grant timeout
	 */
	CompletableFuture<GrantReply> send(String address, Grant grant);

}

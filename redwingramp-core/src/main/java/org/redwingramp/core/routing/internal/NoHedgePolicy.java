package org.redwingramp.core.routing.internal;

import java.util.OptionalLong;

import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.routing.HedgePolicy;

/**
 * A policy that never hedges. Stateless and thread safe.
 */
public final class NoHedgePolicy implements HedgePolicy {

	@Override
	public void responseReceived(long nanos) {
	}

	@Override
	public OptionalLong delay(RequestClass requestClass) {
		return OptionalLong.empty();
	}

	@Override
	public boolean tryHedge() {
		return false;
	}

}

package org.redwingramp.bench.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a stand-in target that runs requests which a real target refuses.
 */
class GrantsTests {

	private static final long FAR_FUTURE_MILLIS = 1_000_000;

	private final Grants grants = new Grants();

	@Test
	void shouldRunRequestsOnlyWithTheCurrentEpochFenceAndLease() {
		assertThat(this.grants.apply(grant(2, FAR_FUTURE_MILLIS))).isTrue();
		assertThat(this.grants.checkRequest(2, "taller-svc/1", 7)).isEmpty();
		assertThat(this.grants.checkRequest(1, "taller-svc/1", 7)).contains("epoch");
		assertThat(this.grants.checkRequest(2, "taller-svc/1", 6)).contains("fence");
		assertThat(this.grants.checkRequest(2, "taller-svc/2", 7)).contains("fence");
	}

	@Test
	void shouldReplaceTheLeaseOnANewEpochAndRefuseALowerEpoch() {
		this.grants.apply(grant(2, FAR_FUTURE_MILLIS));
		assertThat(this.grants.apply(grant(3, 0))).isTrue();
		assertThat(this.grants.checkRequest(3, "taller-svc/1", 7)).contains("lease");
		assertThat(this.grants.apply(grant(2, FAR_FUTURE_MILLIS))).isFalse();
	}

	@Test
	void shouldRefuseADelayedGrantOfTheSameEpoch() {
		this.grants.apply(grant(2, FAR_FUTURE_MILLIS).put("number", 5));
		assertThat(this.grants.apply(grant(2, FAR_FUTURE_MILLIS).put("number", 4))).isFalse();
		assertThat(this.grants.apply(grant(2, FAR_FUTURE_MILLIS).put("number", 6))).isTrue();
	}

	private static ObjectNode grant(long epoch, long leaseUntil) {
		ObjectNode grant = JsonNodeFactory.instance.objectNode().put("epoch", epoch).put("leaseUntil", leaseUntil);
		grant.putArray("shards").addObject().put("shard", "taller-svc/1").put("fence", 7);
		return grant;
	}

}

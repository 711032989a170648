package org.redwingramp.bench.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the stand-in target running what a real target would refuse.
 */
class GrantsTests {

	private static final long FAR = 1_000_000;

	private final Grants grants = new Grants();

	@Test
	void shouldRunOnlyUnderTheCurrentEpochFenceAndLease() {
		assertThat(this.grants.grant(grant(2, FAR))).isTrue();
		assertThat(this.grants.refusal(2, "taller-svc/1", 7)).isEmpty();
		assertThat(this.grants.refusal(1, "taller-svc/1", 7)).contains("epoch");
		assertThat(this.grants.refusal(2, "taller-svc/1", 6)).contains("fence");
		assertThat(this.grants.refusal(2, "taller-svc/2", 7)).contains("fence");
	}

	@Test
	void shouldDropTheLeaseWithANewEpochAndRefuseALowerOne() {
		this.grants.grant(grant(2, FAR));
		assertThat(this.grants.grant(grant(3, 0))).isTrue();
		assertThat(this.grants.refusal(3, "taller-svc/1", 7)).contains("lease");
		assertThat(this.grants.grant(grant(2, FAR))).isFalse();
	}

	@Test
	void shouldRefuseADelayedGrantOfTheSameEpoch() {
		this.grants.grant(grant(2, FAR).put("number", 5));
		assertThat(this.grants.grant(grant(2, FAR).put("number", 4))).isFalse();
		assertThat(this.grants.grant(grant(2, FAR).put("number", 6))).isTrue();
	}

	private static ObjectNode grant(long epoch, long leaseUntil) {
		ObjectNode grant = JsonNodeFactory.instance.objectNode().put("epoch", epoch).put("leaseUntil", leaseUntil);
		grant.putArray("shards").addObject().put("shard", "taller-svc/1").put("fence", 7);
		return grant;
	}

}

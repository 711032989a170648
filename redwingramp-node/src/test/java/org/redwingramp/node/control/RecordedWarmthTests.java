package org.redwingramp.node.control;

import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import org.redwingramp.core.fleet.FleetView.ViewTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against what entry instances are told of the cold period of a target after all
 * control replicas have started again. The target's clock is decades behind.
 */
@Timeout(120)
class RecordedWarmthTests {

	private static final String REPLICA = "127.0.0.62";

	@TempDir
	private Path folder;

	/** Guards against a cold target that is flooded because its clock differs. */
	@Test
	void shouldAssumeThatATargetIsColdThatStatedIt() throws Exception {
		assertThat(targetAfterRestart("cold-heartbeat t-1").coldLeftMillis()).isPositive();
	}

	/** Guards against a warm target that is limited until its next heartbeat. */
	@Test
	void shouldAssumeThatATargetIsWarmThatStatedIt() throws Exception {
		assertThat(targetAfterRestart("heartbeat t-1").coldLeftMillis()).isZero();
	}

	private ViewTarget targetAfterRestart(String heartbeat) throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, REPLICA)) {
			assertThat(control.call("replace 0 5 " + TextDialect.COLD)).startsWith("ACCEPTED");
			assertThat(control.call(heartbeat)).startsWith("ACCEPTED");
			control.stop(REPLICA);
			control.start(REPLICA, true);
			ViewTarget target = DomainReturnTests.target(control, REPLICA, 2);
			assertThat(target.coldAssumed()).isTrue();
			return target;
		}
	}

}

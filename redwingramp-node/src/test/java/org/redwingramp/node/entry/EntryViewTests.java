package org.redwingramp.node.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.node.entry.EntryView.Outcome;
import org.redwingramp.node.loop.EventLoop;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an entry instance that goes back to an older view, and against changes
 * that are applied to another view than the one they were made for.
 */
class EntryViewTests {

	private EntryView view;

	@BeforeEach
	void takeAView() throws Exception {
		this.view = new EntryView(new EventLoop((failure) -> {
		}), new PlainDialect());
		assertThat(apply(full(5, 10, 7, "a"))).isEqualTo(Outcome.TAKEN);
	}

	@Test
	void shouldNotTakeAViewOfAnOlderTerm() throws Exception {
		assertThat(apply(full(4, 99, 7, "b"))).isEqualTo(Outcome.OUTDATED);
		assertThat(this.view.owner("s", 1)).isEqualTo("a");
	}

	@Test
	void shouldNotTakeAViewWithAnOlderConfiguration() throws Exception {
		assertThat(apply(full(6, 1, 6, "b"))).isEqualTo(Outcome.OUTDATED);
		assertThat(this.view.configVersion()).isEqualTo(7);
		assertThat(this.view.owner("s", 1)).isEqualTo("a");
	}

	/** Guards against a view that was held up on a link which has been replaced since. */
	@Test
	void shouldNotTakeAnOlderViewOfTheSameLeader() throws Exception {
		assertThat(apply(full(5, 9, 7, "b"))).isEqualTo(Outcome.OUTDATED);
		assertThat(apply(changes(5, 10, 9, "b"))).isEqualTo(Outcome.OUTDATED);
		assertThat(this.view.owner("s", 1)).isEqualTo("a");
	}

	@Test
	void shouldTakeChangesOnTopOfItsViewOnly() throws Exception {
		assertThat(apply(changes(5, 13, 12, "b"))).isEqualTo(Outcome.INCOMPLETE);
		assertThat(apply(changes(6, 13, 10, "b"))).isEqualTo(Outcome.INCOMPLETE);
		assertThat(this.view.owner("s", 1)).isEqualTo("a");
		assertThat(apply(changes(5, 12, 10, "b"))).isEqualTo(Outcome.TAKEN);
		assertThat(this.view.owner("s", 1)).isEqualTo("b");
		assertThat(this.view.owner("s", 500)).isEqualTo("a");
	}

	@Test
	void shouldForgetWhatAFullViewLacks() throws Exception {
		FleetView next = new FleetView(6, 1, 0, 7, 1, Optional.empty(), List.of(target("c")), List.of(),
				Map.of("s", List.of(new ViewRange(0, 9, "c"))));
		assertThat(apply(next)).isEqualTo(Outcome.TAKEN);
		assertThat(this.view.target("a")).isEmpty();
		assertThat(this.view.targets("s")).hasSize(1);
		assertThat(this.view.owner("s", 9)).isEqualTo("c");
		assertThat(this.view.owner("s", 10)).isEmpty();
	}

	private Outcome apply(FleetView update) throws Exception {
		return this.view.apply(update, 0);
	}

	private static FleetView full(long term, long sequence, long config, String owner) {
		return new FleetView(term, sequence, 0, config, 1, Optional.of(new byte[] { (byte) config }),
				List.of(target("a"), target("b")), List.of(), Map.of("s", List.of(new ViewRange(0, 65_535, owner))));
	}

	private static FleetView changes(long term, long sequence, long base, String owner) {
		return new FleetView(term, sequence, base, 7, 1, Optional.empty(), List.of(), List.of(),
				Map.of("s", List.of(new ViewRange(0, 99, owner))));
	}

	private static ViewTarget target(String name) {
		return new ViewTarget(name, "s", "127.0.0.1:1", "d", 3, true, 0);
	}

}

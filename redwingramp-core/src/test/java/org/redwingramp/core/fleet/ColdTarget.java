package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;

import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.ownership.KeyReport;

/**
 * A target that runs requests, is cold for some time after each start and may become cold
 * again at any moment. It starts again under the same name or another one at the same
 * address. Not thread safe.
 */
final class ColdTarget {

	static final long COLD_MILLIS = 3000;

	private static final long MS = SimulatedTime.MS;

	private static final int SLOTS = 6;

	private static final int WORK_MILLIS = 60;

	private static final int COLD_WORK_MILLIS = 150;

	final String address;

	final String domain;

	String name;

	long born;

	boolean up = true;

	/** Whether its heartbeats reach no control replica. */
	boolean cutFromControl;

	/** When the last cold period began and when it ends. */
	long coldFromNanos;

	long coldUntilNanos;

	/** The last evacuation of its domain before which or in which the period began. */
	int coldInEvacuation;

	/** The leader that it believes in. */
	ColdLeader contact;

	private final SimulatedTime time;

	private final Random random;

	private final List<Work> queue = new ArrayList<>();

	private int running;

	private long sequence;

	ColdTarget(String name, String domain, SimulatedTime time, Random random) {
		this.name = name;
		this.address = name + ":80";
		this.domain = domain;
		this.time = time;
		this.random = random;
		this.born = time.now() / MS;
	}

	boolean cold() {
		return this.up && this.time.now() < this.coldUntilNanos;
	}

	void becomeCold(int evacuation) {
		this.coldFromNanos = this.time.now();
		this.coldUntilNanos = this.time.now() + COLD_MILLIS * MS;
		this.coldInEvacuation = evacuation;
	}

	// Breaks off the requests that it has received.
	void crash() {
		this.up = false;
		List<Work> broken = List.copyOf(this.queue);
		this.queue.clear();
		this.running = 0;
		broken.forEach((work) -> work.end().accept(Outcome.BROKEN, this));
	}

	void start(String nextName) {
		this.name = nextName;
		this.born = this.time.now() / MS;
		this.up = true;
		this.sequence = 0;
		becomeCold(0);
	}

	TargetHeartbeat heartbeat() {
		FleetTarget description = new FleetTarget(this.name, this.born, ColdFleet.SERVICE, this.address, this.domain,
				SLOTS, Stage.SERVING);
		long coldLeft = Math.max(0, (this.coldUntilNanos - this.time.now() + MS - 1) / MS);
		return new TargetHeartbeat(description, coldLeft, ++this.sequence, KeyReport.EMPTY);
	}

	// Receives a request; the end is told as soon as it is known.
	void receive(String addressed, BiConsumer<Outcome, ColdTarget> end) {
		if (!this.up) {
			end.accept(Outcome.REFUSED, this);
		}
		else if (!addressed.equals(this.name)) {
			end.accept(Outcome.MISDIRECTED, this);
		}
		else {
			this.queue.add(new Work(end));
			runNext();
		}
	}

	private void runNext() {
		if (this.running == SLOTS || this.running >= this.queue.size()) {
			return;
		}
		Work work = this.queue.get(this.running++);
		int mean = cold() ? COLD_WORK_MILLIS : WORK_MILLIS;
		this.time.schedule(mean / 2 + this.random.nextInt(mean), () -> {
			if (this.queue.remove(work)) {
				this.running--;
				runNext();
				work.end().accept(Outcome.ANSWERED, this);
			}
		});
	}

	int running() {
		return this.running;
	}

	int waiting() {
		return this.queue.size() - this.running;
	}

	/** How a request ended at the target. */
	enum Outcome {

		ANSWERED, REFUSED, MISDIRECTED, BROKEN

	}

	// Compared by identity.
	private static final class Work {

		private final BiConsumer<Outcome, ColdTarget> end;

		Work(BiConsumer<Outcome, ColdTarget> end) {
			this.end = end;
		}

		BiConsumer<Outcome, ColdTarget> end() {
			return this.end;
		}

	}

}

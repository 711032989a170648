package org.redwingramp.bench.soak;

import java.util.Map;

/**
 * What uses the replicated log in a round. Not thread safe.
 */
interface Workload {

	/**
	 * Creates the state machine of a replica that starts.
	 * @return the state machine
	 */
	StateMachine newMachine();

	// Starts the processes of the workload.
	void start();

	// Injects a fault of the workload's own processes.
	void injectFault();

	// Ends all faults of the workload's own processes.
	void endFaults();

	// Checks invariants after each event.
	void afterEach();

	/**
	 * Returns what is missing before the workload counts as working again.
	 * @return what is missing, empty if it works
	 */
	String missing();

	/**
	 * Returns what was done, by kind.
	 * @return the numbers
	 */
	Map<String, Long> work();

}

package org.redwingramp.bench.soak;

import java.util.Map;

/**
 * The clients and state machines that use the replicated log in a round. Not thread safe.
 */
interface Workload {

	/**
	 * Creates an empty state machine for a replica that starts.
	 * @return the state machine
	 */
	StateMachine newStateMachine();

	// Starts the processes of the workload.
	void start();

	// Injects a random fault into the workload's own processes.
	void injectFault();

	// Ends all faults of the workload's own processes and starts those that are stopped.
	void endFaults();

	// Checks the workload's invariants; runs after each event.
	void afterEachEvent();

	/**
	 * Returns why the workload hasn't recovered since the faults ended.
	 * @return the reason, empty if it has recovered
	 */
	String recoveryProblem();

	/**
	 * Returns the number of operations by kind.
	 * @return the numbers
	 */
	Map<String, Long> operationCounts();

}

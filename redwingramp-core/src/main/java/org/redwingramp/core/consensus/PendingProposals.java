package org.redwingramp.core.consensus;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The proposals of one replica whose outcome is open, each with a handler that waits for
 * it. Invariant: a handler is handed out once, and as committed only for the very entry
 * that its proposal appended. Entries are told apart by index and term, since another
 * leader may replace an entry that isn't committed by one with the same index. Not thread
 * safe.
 *
 * @param <H> the type of the handlers
 */
public final class PendingProposals<H> {

	private final Map<Long, H> handlers = new HashMap<>();

	private final Map<Position, Long> idsByPosition = new HashMap<>();

	private long nextId = 1;

	/**
	 * Adds a proposal.
	 * @param handler waits for the outcome
	 * @return the identifier to propose the command with
	 */
	public long add(H handler) {
		long id = this.nextId++;
		this.handlers.put(id, handler);
		return id;
	}

	/**
	 * Takes note of a result that the replica reported.
	 * @param result the result
	 * @return the handler if the result is final: the proposal was rejected, or its
	 * outcome will remain unknown
	 */
	public Optional<H> resolved(ProposalResult result) {
		Position position = new Position(result.index(), result.term());
		if (result.status() != ProposalResult.Status.APPENDED) {
			this.idsByPosition.remove(position);
			return Optional.ofNullable(this.handlers.remove(result.proposalId()));
		}
		// A proposal that was abandoned before its result is reported stays abandoned.
		if (this.handlers.containsKey(result.proposalId())) {
			this.idsByPosition.put(position, result.proposalId());
		}
		return Optional.empty();
	}

	/**
	 * Takes the handler of the proposal that appended a committed entry.
	 * @param entry the entry
	 * @return the handler, or empty if no pending proposal of this replica appended the
	 * entry
	 */
	public Optional<H> committed(LogEntry entry) {
		return Optional.ofNullable(this.idsByPosition.remove(new Position(entry.index(), entry.term())))
			.map(this.handlers::remove);
	}

	/**
	 * Abandons all proposals, whether or not their results have been reported. To be
	 * called when the replica stops leading, since it may not learn of their outcome.
	 * @return the handlers in the order of their proposals
	 */
	public List<H> abandonAll() {
		List<H> abandoned = this.handlers.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByKey())
			.map(Map.Entry::getValue)
			.toList();
		this.handlers.clear();
		this.idsByPosition.clear();
		return abandoned;
	}

	/**
	 * Identifies an entry of the log.
	 *
	 * @param index the index of the entry
	 * @param term the term of the leader that created it
	 */
	private record Position(long index, long term) {
	}

}

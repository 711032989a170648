package org.redwingramp.node.link;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.fleet.EntryReport;
import org.redwingramp.core.fleet.FleetCommand;
import org.redwingramp.core.fleet.FleetSnapshot;
import org.redwingramp.core.fleet.FleetState;
import org.redwingramp.core.fleet.FleetTarget;
import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.observation.ObservationKind;
import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.OwnedRange;
import org.redwingramp.core.ownership.Owner;
import org.redwingramp.core.traffic.GrantMode;
import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.RecordCodec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a link message, replicated command or snapshot with a component that the
 * codec can't encode and decode.
 */
class LinkMessageTests {

	private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());

	private static final Owner OWNER = new Owner("t", 7);

	private static final FleetTarget TARGET = new FleetTarget("t", 7, "s", "10.0.0.1:80", "d", 3,
			FleetTarget.Stage.DRAINING);

	@Test
	void shouldEncodeAndDecodeEachMessage() throws CodecException {
		ReplicaId replica = new ReplicaId("r", -1);
		Observation limit = new Observation(ObservationKind.TARGET_LIMIT, "t", 5.9, 40);
		EntryReport report = new EntryReport(List.of(new EntryReport.TargetUse("t", 1, 0.5, 2)),
				List.of(new EntryReport.KeyUse("s", 65_535, 0.25F)), List.of(limit));
		GrantCall call = new GrantCall("t", false, 0, 9, 1L << 40, 3000, Optional.of("token"));
		for (LinkMessage message : List.of(new LinkMessage.ReplicaHello(replica, true),
				new LinkMessage.Consensus(replica, new PeerMessage.PreVoteReply(3, true)),
				new LinkMessage.EntryHello("e", 4),
				new LinkMessage.Report("e", 1, 2, report, Optional.of(8L), Optional.of(4L), Optional.of("lag")),
				new LinkMessage.LeaderInfo("", false, List.of("a", "b"), Optional.of(true)),
				new LinkMessage.View(LinkWarmup.sampleView()),
				new LinkMessage.PermitRequest(6, "t", 5.9, Optional.of(limit), 200),
				new LinkMessage.PermitReply(6, true, 15),
				new LinkMessage.RelayCall(5, 3, "10.0.0.1:80", call, Optional.of(9L)),
				new LinkMessage.RelayReply(5, new GrantReply(GrantOutcome.CONFIRMED, Optional.empty())))) {
			assertThat(Link.CODEC.decode(Link.CODEC.encode(message))).usingRecursiveComparison().isEqualTo(message);
		}
	}

	// Guards against a rolling restart in which processes of two builds close their links
	// again and again: the older build sends no component that was added, the newer one
	// sends components that the older build doesn't know.
	@Test
	void shouldReadMessagesWithMoreOrFewerComponents() throws Exception {
		GrantCall call = new GrantCall("t", false, 0, 9, 1, 3000, Optional.empty());
		EntryReport report = new EntryReport(List.of(), List.of(), List.of(), List.of(OWNER));
		assertThat(decodeChanged(new LinkMessage.RelayCall(5, 3, "10.0.0.1:80", call, Optional.of(9L)),
				(fields) -> fields.remove("notAfterMillis")))
			.isEqualTo(new LinkMessage.RelayCall(5, 3, "10.0.0.1:80", call, Optional.empty()));
		assertThat(decodeChanged(
				new LinkMessage.Report("e", 1, 2, report, Optional.of(8L), Optional.of(4L), Optional.of("lag")),
				(fields) -> {
					((ObjectNode) fields.get("report")).remove(List.of("leaving", "observations"));
					fields.remove(List.of("clockMillis", "configVersion", "lag"));
				}))
			.isEqualTo(new LinkMessage.Report("e", 1, 2, new EntryReport(List.of(), List.of(), List.of()),
					Optional.empty(), Optional.empty(), Optional.empty()));
		assertThat(decodeChanged(new LinkMessage.LeaderInfo("l", true, List.of("l"), Optional.of(false)),
				(fields) -> fields.remove("followed")))
			.isEqualTo(new LinkMessage.LeaderInfo("l", true, List.of("l"), Optional.empty()));
		LinkMessage.View view = new LinkMessage.View(LinkWarmup.sampleView());
		assertThat(decodeChanged(view, (fields) -> {
			fields.put("newer", 1);
			((ObjectNode) fields.get("view")).putObject("newer").put("a", "b");
		})).usingRecursiveComparison().isEqualTo(view);
	}

	// Changes the encoded components of a message and decodes it again.
	private static LinkMessage decodeChanged(LinkMessage message, Consumer<ObjectNode> change) throws Exception {
		ObjectNode typed = (ObjectNode) CBOR.readTree(Link.CODEC.encode(message));
		change.accept((ObjectNode) typed.elements().next());
		return Link.CODEC.decode(CBOR.writeValueAsBytes(typed));
	}

	// Any other exception than CodecException isn't handled as a malformed message.
	@Test
	void shouldRejectMalformedMessages() throws CodecException {
		byte[] sample = Link.CODEC.encode(new LinkMessage.View(LinkWarmup.sampleView()));
		for (int seed = 0; seed < 20_000; seed++) {
			Random random = new Random(seed);
			byte[] malformed = Arrays.copyOf(sample, 1 + random.nextInt(sample.length + 8));
			for (int changes = random.nextInt(5); changes >= 0; changes--) {
				malformed[random.nextInt(malformed.length)] = (byte) random.nextInt(256);
			}
			try {
				assertThat(Link.CODEC.decode(malformed)).as("seed " + seed).isNotNull();
			}
			catch (CodecException ex) {
				assertThat(ex).as("seed " + seed).hasMessageMatching("(?s).+");
			}
		}
	}

	@Test
	void shouldEncodeAndDecodeEachCommandAndTheSnapshot() throws CodecException {
		RecordCodec<FleetCommand> codec = RecordCodec.of(FleetCommand.class);
		for (FleetCommand command : List.of(new FleetCommand.ReplaceConfig(1, 2, new byte[] { 3 }),
				new FleetCommand.SetDomainOut("d", true), new FleetCommand.RecordTarget(TARGET),
				new FleetCommand.RecordTarget(TARGET.withWarmth(true, 4)), new FleetCommand.ForgetTarget(OWNER),
				new FleetCommand.AssignKeys("s", List.of(), Optional.of(GrantMode.HEARTBEAT)),
				new FleetCommand.AssignKeys("s", List.of(new FleetCommand.Move(new KeyRange(0, 9), OWNER))))) {
			assertThat(codec.decode(codec.encode(command))).usingRecursiveComparison().isEqualTo(command);
		}
		FleetSnapshot snapshot = new FleetSnapshot(2, new byte[] { 3 }, Map.of("2", "digest"), List.of("d"),
				List.of(TARGET), Map.of("s", List.of(new OwnedRange(new KeyRange(0, 9), OWNER, 5))), 5, List.of("s"));
		RecordCodec<FleetSnapshot> snapshots = RecordCodec.of(FleetSnapshot.class);
		assertThat(snapshots.decode(snapshots.encode(snapshot))).usingRecursiveComparison().isEqualTo(snapshot);
	}

	/**
	 * Guards against a replica that can't read a log or a snapshot of an earlier build,
	 * and against one that takes it to say that there are no grants by call.
	 */
	@Test
	void shouldDecodeACommandAndASnapshotThatDontSayWhetherThereAreGrantsByCall() throws Exception {
		RecordCodec<FleetCommand> codec = RecordCodec.of(FleetCommand.class);
		ObjectNode typed = (ObjectNode) CBOR
			.readTree(codec.encode(new FleetCommand.AssignKeys("s", List.of(), Optional.of(GrantMode.HEARTBEAT))));
		((ObjectNode) typed.elements().next()).remove("grants");
		assertThat(codec.decode(CBOR.writeValueAsBytes(typed)))
			.isEqualTo(new FleetCommand.AssignKeys("s", List.of(), Optional.empty()));
		RecordCodec<FleetSnapshot> snapshots = RecordCodec.of(FleetSnapshot.class);
		ObjectNode snapshot = (ObjectNode) CBOR.readTree(snapshots.encode(FleetSnapshot.EMPTY));
		assertThat(snapshot.remove("withoutCalls")).isNotNull();
		assertThat(new FleetState(snapshots.decode(CBOR.writeValueAsBytes(snapshot))).mayHaveCalls("s")).isTrue();
	}

	/**
	 * Guards against a replica that can't read a target which an earlier build recorded,
	 * and against one that takes it for warm.
	 */
	@Test
	void shouldDecodeATargetThatDoesntSayWhetherItIsWarm() throws Exception {
		RecordCodec<FleetCommand> codec = RecordCodec.of(FleetCommand.class);
		ObjectNode typed = (ObjectNode) CBOR
			.readTree(codec.encode(new FleetCommand.RecordTarget(TARGET.withWarmth(true, 4))));
		ObjectNode target = (ObjectNode) typed.elements().next().get("target");
		assertThat(target.remove("warm")).isNotNull();
		assertThat(target.remove("warmthSequence")).isNotNull();
		assertThat(codec.decode(CBOR.writeValueAsBytes(typed))).isEqualTo(new FleetCommand.RecordTarget(TARGET));
	}

}

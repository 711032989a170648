package org.redwingramp.wire;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.redwingramp.core.consensus.Outbound;
import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.Snapshot;
import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.ControlSnapshot;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.control.EntryHeartbeatReply;
import org.redwingramp.core.control.LedgerRecord;
import org.redwingramp.core.control.RequestIdentity;
import org.redwingramp.core.control.ViewUpdate;
import org.redwingramp.core.model.RecordBody;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class RecordCodecTests {

	private static final String ENCODED_ABORT_REQUEST = "bf6c41626f727452657175657374bf6772657175657374bf677365727669636569636f62726f2d73"
			+ "7663636b6579626b316c6973737565644d696c6c69731b0000018bcfe56800ff67617474656d7074" + "09ffff";

	private static final ObjectMapper MAPPER = new CBORMapper();

	// Guards against a record type, including a newly added one, that the codec can't
	// encode and decode. Values are compared by component, since arrays compare by
	// identity.
	@ParameterizedTest
	@ValueSource(classes = { Command.class, CommandResult.class, PeerMessage.class, RecordBody.class,
			ViewUpdate.Removed.class, EntryHeartbeat.class, EntryHeartbeatReply.class, ControlSnapshot.class,
			Snapshot.class, Outbound.class, LedgerRecord.class })
	void shouldRoundTripEachRecordType(Class<?> type) throws Exception {
		for (Object value : new SampleValues().ofEach(type)) {
			assertThat(roundTrip(type, value)).isInstanceOf(value.getClass())
				.usingRecursiveComparison()
				.isEqualTo(value);
		}
	}

	private static <T> Object roundTrip(Class<T> type, Object value) throws CodecException {
		RecordCodec<T> codec = RecordCodec.of(type);
		return codec.decode(codec.encode(type.cast(value)));
	}

	// Guards against renamed types, which would make stored commands undecodable.
	@Test
	void shouldKeepTheTypeNames() {
		assertThat(names(Command.class)).containsExactlyInAnyOrder("SubmitRecord", "WithdrawRecord", "RegisterEntry",
				"EntryLeaving", "RemoveEntry", "AnnounceTarget", "DrainTarget", "TargetLeft", "TargetLost",
				"AssignGates", "ReleaseShards", "ShardsReleased", "AssignShards", "SplitHotKey", "MergeHotKey",
				"BeginRequest", "FinishRequest", "AbortRequest", "MarkUnknown", "ExpireLedger");
		assertThat(names(RecordBody.class)).containsExactlyInAnyOrder("Service", "Domain", "Pin");
		assertThat(names(CommandResult.class)).containsExactlyInAnyOrder("Applied", "Refused", "RecordAccepted",
				"Begun");
	}

	private static List<String> names(Class<?> type) {
		return SampleValues.permittedRecords(type).map(Class::getSimpleName).toList();
	}

	// Guards against a change of the encoding, which would make stored commands
	// undecodable.
	@Test
	void shouldKeepTheEncodingOfCommands() throws Exception {
		RecordCodec<Command> codec = RecordCodec.of(Command.class);
		Command command = new Command.AbortRequest(new RequestIdentity("cobro-svc", "k1", 1_700_000_000_000L), 9);
		byte[] stored = HexFormat.of().parseHex(ENCODED_ABORT_REQUEST);
		assertThat(HexFormat.of().formatHex(codec.encode(command))).isEqualTo(ENCODED_ABORT_REQUEST);
		assertThat(codec.decode(stored)).isEqualTo(command);
	}

	// Guards against records that an older or newer version can't decode, and against
	// null components in the state machine.
	@Test
	void shouldIgnoreUnknownAndFillMissingComponents() throws Exception {
		RecordCodec<RequestIdentity> codec = RecordCodec.of(RequestIdentity.class);
		byte[] data = MAPPER.writeValueAsBytes(MAPPER.createObjectNode().put("key", "k").put("newer", 1));
		assertThat(codec.decode(data)).isEqualTo(new RequestIdentity("", "k", 0));
		byte[] reply = MAPPER.writeValueAsBytes(MAPPER.createObjectNode().put("sequence", 4));
		assertThat(RecordCodec.of(EntryHeartbeatReply.class).decode(reply).update()).isEqualTo(Optional.empty());
		byte[] request = MAPPER.writeValueAsBytes(MAPPER.createObjectNode().put("viewVersion", 4));
		assertThat(RecordCodec.of(ControlSnapshot.class).decode(request).records()).isEmpty();
		assertThatExceptionOfType(CodecException.class)
			.isThrownBy(() -> RecordCodec.of(LedgerRecord.class).decode(reply))
			.withMessageContaining("request");
	}

	// Guards against invalid input that causes an exception other than CodecException,
	// which would terminate the decoding thread.
	@Test
	void shouldRejectInvalidData() throws Exception {
		RecordCodec<Command> codec = RecordCodec.of(Command.class);
		byte[] valid = codec.encode(new Command.RemoveEntry("entry-1", "boot"));
		byte[] deep = new byte[100_000];
		Arrays.fill(deep, (byte) 0x81);
		byte[] longBytes = HexFormat.of().parseHex("a16b52656d6f7665456e747279a1646e616d655b7fffffffffffffff");
		for (byte[] data : List.of(new byte[0], deep, longBytes, Arrays.copyOf(valid, valid.length - 1),
				Arrays.copyOf(valid, valid.length + 1), MAPPER.writeValueAsBytes(null),
				MAPPER.writeValueAsBytes("text"),
				MAPPER.writeValueAsBytes(MAPPER.createObjectNode().put("Other", 1)))) {
			assertThatExceptionOfType(CodecException.class).isThrownBy(() -> codec.decode(data));
		}
		Random random = new Random(5);
		for (int i = 0; i < 20_000; i++) {
			byte[] data = valid.clone();
			data[random.nextInt(data.length)] = (byte) random.nextInt();
			decodeOrReject(codec, data);
		}
	}

	private static void decodeOrReject(RecordCodec<Command> codec, byte[] data) {
		try {
			assertThat(codec.decode(data)).isNotNull();
		}
		catch (CodecException ex) {
			assertThat(ex).hasMessageContaining("Can't decode a Command");
		}
	}

	// Guards against messages that exceed the frame size limit.
	@Test
	void shouldRejectAValueOverTheSizeLimit() {
		RecordCodec<Command> codec = RecordCodec.of(Command.class, 20);
		assertThatExceptionOfType(CodecException.class)
			.isThrownBy(() -> codec.encode(new Command.RemoveEntry("entry-1", "boot")))
			.withMessageContaining("must not exceed 20 bytes (was ");
		assertThatExceptionOfType(CodecException.class).isThrownBy(() -> codec.decode(new byte[21]));
	}

}

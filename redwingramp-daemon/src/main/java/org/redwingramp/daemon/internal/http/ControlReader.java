package org.redwingramp.daemon.internal.http;

import java.util.concurrent.TimeUnit;

import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.ControlViews;
import org.redwingramp.daemon.internal.control.ControlCall;
import org.redwingramp.daemon.internal.control.ControlClient;
import org.redwingramp.daemon.internal.control.ControlReply;
import org.redwingramp.daemon.internal.control.ControlUnavailableException;
import org.redwingramp.daemon.internal.control.ControlUndecidedException;

/**
 * Reads the view and the state of the control group from its leader. Thread safe.
 */
public final class ControlReader {

	private static final long READ_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final ControlClient control;

	public ControlReader(ControlClient control) {
		this.control = control;
	}

	ControlReply.ViewRead read(long since) throws ControlUnavailableException, ControlUndecidedException {
		ControlReply reply = this.control.call(new ControlCall.ReadView(since), READ_TIMEOUT_NANOS);
		if (reply instanceof ControlReply.ViewRead read) {
			return read;
		}
		throw new ControlUnavailableException(
				"unexpected reply of the control leader to a read: " + reply.getClass().getSimpleName());
	}

	static ControlView view(ControlReply.ViewRead read) {
		return ControlViews.of(read.update());
	}

}

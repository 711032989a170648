package org.redwingramp.core.control;

import org.redwingramp.core.model.EntrySpec;

/**
 * A registered entry instance. Immutable and thread safe.
 *
 * @param spec the entry instance
 * @param leaving whether the instance is stopping
 * @param viewVersion the view version of the last change to this state
 */
public record EntryState(EntrySpec spec, boolean leaving, long viewVersion) {
}

package org.redwingramp.core.control;

import org.redwingramp.core.model.EntrySpec;

/**
 * A registered entry instance. Immutable and thread safe.
 *
 * @param spec the instance
 * @param leaving whether it is stopping
 * @param viewVersion the view version of its last change
 */
public record EntryState(EntrySpec spec, boolean leaving, long viewVersion) {
}

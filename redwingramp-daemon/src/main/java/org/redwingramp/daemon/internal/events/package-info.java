/**
 * Numbered log events, which operators match by their {@code RWR-} codes.
 */
package org.redwingramp.daemon.internal.events;

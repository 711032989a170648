/**
 * The replicated log: events in, effects out.
 */
package org.redwingramp.core.consensus;

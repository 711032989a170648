/**
 * Numbered log events.
 */
package org.redwingramp.daemon.internal.events;

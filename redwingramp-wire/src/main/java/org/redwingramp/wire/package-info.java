/**
 * The authenticated transport between daemons and the encoding of its messages.
 */
package org.redwingramp.wire;

/**
 * The authenticated transport between daemons and the encoding of what it carries.
 */
package org.redwingramp.wire;

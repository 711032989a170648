/**
 * The redwingramp command.
 */
package org.redwingramp.cli;

/**
 * Durable storage of a control replica: its log, snapshots, term and vote.
 */
package org.redwingramp.storage;

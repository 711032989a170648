/**
 * Value types shared by all parts of redwingramp.
 */
package org.redwingramp.core.model;

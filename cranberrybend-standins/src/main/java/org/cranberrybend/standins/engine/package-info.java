/** Simulator of a model engine with continuous batching. */
package org.cranberrybend.standins.engine;

/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Decisions of the overload control layer, without input or output. */

export * from './admission/adaptiveLimit.js';
export * from './admission/admissionLevel.js';
export * from './admission/admissionQueue.js';
export * from './admission/callRatios.js';
export * from './admission/callerMix.js';
export * from './admission/chainModel.js';
export * from './admission/gate.js';
export * from './admission/gateLevel.js';
export * from './admission/notRunReason.js';
export * from './admission/learnedChains.js';
export * from './admission/levelReport.js';
export * from './admission/rank.js';
export * from './admission/rootAdmission.js';
export * from './admission/rootFilter.js';
export * from './admission/slotGate.js';
export * from './chain/retryLedger.js';
export * from './chain/retryRatio.js';
export * from './claims/answerStore.js';
export * from './claims/claimIndex.js';
export * from './claims/keySettler.js';
export * from './claims/lookUpAnswer.js';
export * from './config/configFold.js';
export * from './config/mergePatch.js';
export * from './errors/errorKind.js';
export * from './membership/memberView.js';
export * from './membership/readerRank.js';
export * from './membership/targetDirectory.js';
export * from './membership/targetLife.js';
export * from './membership/targetReach.js';
export * from './membership/targetRecord.js';
export * from './procedures/admitRequest.js';
export * from './procedures/attempt.js';
export * from './procedures/callContext.js';
export * from './procedures/claimInLog.js';
export * from './procedures/effects.js';
export * from './procedures/gateCall.js';
export * from './procedures/lifecycle.js';
export * from './procedures/releaseClaim.js';
export * from './procedures/routeRequest.js';
export * from './procedures/runAttempts.js';
export * from './procedures/runProcedure.js';
export * from './procedures/serveCall.js';
export * from './procedures/served.js';
export * from './procedures/settleCall.js';
export * from './procedures/submitPatch.js';
export * from './procedures/takenOffers.js';
export * from './quarantine/requestPrint.js';
export * from './quarantine/suspectLane.js';
export * from './quarantine/suspectTable.js';
export * from './quarantine/suspicion.js';
export * from './quarantine/trialTarget.js';
export * from './retries/repeatBudget.js';
export * from './routing/classifier.js';
export * from './routing/hostStats.js';
export * from './routing/placement.js';
export * from './routing/routeTable.js';
export * from './routing/targetPicker.js';
export * from './routing/targetStats.js';
export * from './routing/targetSubset.js';
export * from './util/clock.js';
export * from './util/hashText.js';
export * from './util/random.js';
export * from './util/rendezvous.js';
export * from './util/results.js';
export * from './workspaces/credentials.js';
export * from './workspaces/freshness.js';
export * from './workspaces/quotaAsker.js';
export * from './workspaces/quotaBucket.js';
export * from './workspaces/quotaOwner.js';
export * from './workspaces/quotaParts.js';
export * from './workspaces/workspaceTable.js';

import { LoadPlanner, type LoadPlannerInput } from './LoadPlanner.js'
import { planLoad, type PlannedLoad } from './planResidency.js'

/** Plans by the slots that requests occupy, for services whose models and servers are alike. */
export class SlotPlanner extends LoadPlanner {
  override planLoad (input: LoadPlannerInput, mayUseStore: boolean): PlannedLoad | undefined {
    return planLoad(input, mayUseStore, input.onlyModel)
  }
}

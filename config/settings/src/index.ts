export { parseSettings, readSettingsFile } from './parseSettings.js'
export { settingsSchema } from './settingsSchema.js'
export type { Settings, OperatorSetting } from './settingsSchema.js'
